Feature: A job's answer is either complete or failed

  Background:
    Given 3 domains with 3 entry hosts and 3 workers each

  Scenario: A job of the largest size gets every result
    When 1 job of 710 tasks of 50 ms is submitted to team logistics
    And all answers have come
    Then job 1 is complete
    And every answer is complete or failed

  Scenario: One failing worker fails whole jobs, never parts of them
    When worker 1 of domain north fails every task
    And 20 jobs of 6 tasks of 100 ms are submitted to team payments, over 1 second
    And all answers have come
    Then each job is complete or failed
    And every answer is complete or failed

  Scenario: A job that has begun fails at its deadline
    When 1 job of 300 tasks of 500 ms is submitted to team logistics, with a deadline of 2 seconds
    And all answers have come
    Then each job is failed or refused
    And every refusal that says "not run" is true

  Scenario: A worker that dies leaves no call without an answer
    When 20 jobs of 6 tasks of 500 ms are submitted to team payments
    And 100 ms pass
    And worker 3 of domain south falls silent
    And all answers have come
    Then every answer is complete or failed
    And at most 8 tasks were lost with their worker

  Scenario: Answers are lost after the effect
    When all workers lose 20 % of their answers
    And 30 jobs of 5 tasks of 100 ms are submitted to team kiosk, over 2 seconds
    And all answers have come
    Then every answer is complete or failed
