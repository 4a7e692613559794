Feature: No task of a submission starts twice

  Background:
    Given 3 domains with 3 entry hosts and 4 workers each

  Scenario: A start whose answer is lost is not repeated elsewhere
    When all workers lose 30 % of their answers
    And 60 jobs of 4 tasks of 200 ms are submitted to team payments, over 2 seconds
    And all answers have come
    Then no task has started twice
    And each job is complete or failed

  Scenario: A worker dies with its tasks
    When 40 jobs of 8 tasks of 400 ms are submitted to team payments
    And 100 ms pass
    And worker 1 of domain north dies
    And all answers have come
    Then no task has started twice
    And at most 8 tasks were lost with their worker

  Scenario: A worker freezes and answers late
    When 40 jobs of 8 tasks of 300 ms are submitted to team payments
    And 50 ms pass
    And worker 2 of domain south freezes for 3 seconds
    And 6 seconds pass
    And all answers have come
    Then no task has started twice

  Scenario: A scheduler is paused while another takes its role
    When 60 jobs of 8 tasks of 300 ms are submitted to team payments, over 3 seconds
    And 500 ms pass
    And the scheduler of domain north is paused for 4 seconds
    And 8 seconds pass
    And all answers have come
    Then no task has started twice

  Scenario: A domain is cut off and starts that waited in connections arrive late
    When 60 jobs of 8 tasks of 300 ms are submitted to team payments, over 2 seconds
    And 1 second passes
    And domain south is cut off for 3 seconds
    And 8 seconds pass
    And all answers have come
    Then no task has started twice
    And every refusal that says "not run" is true
