Feature: Stragglers and bursts

  Background:
    Given 3 domains with 3 entry hosts and 10 workers each

  Scenario: One worker takes ten times as long
    When worker 1 of domain north takes 10 times as long
    And 300 jobs of 2 tasks of 200 ms are submitted to team payments, over 10 seconds
    And all answers have come
    Then all jobs are complete
    And no task has started twice

  Scenario: A burst of more tasks than slots
    When 100 jobs of 4 tasks of 200 ms are submitted to team payments
    And all answers have come
    Then all jobs are complete
    And wasted messages are at most 0.05 per task start

  Scenario: A burst that can not start in time is refused in time
    When 400 jobs of 16 tasks of 400 ms are submitted to team payments, with a deadline of 4 seconds
    And all answers have come
    Then every refusal came within 20 ms or before half of the deadline
    And every refusal that says when to come back gives a time above 0
    And every refusal that says "not run" is true

  Scenario: Steady load wastes no messages
    When team kiosk submits work for 30 % of the slots over 10 seconds
    And team payments submits work for 30 % of the slots over 10 seconds
    And 10 seconds pass
    And all answers have come
    Then wasted messages and moved requests are at most 0.01 per task start
    And the 50th percentile of response over ideal is at most 1.05
    And the 99th percentile of response over ideal is at most 1.25

  Scenario: A burst leaves no slots idle while tasks wait
    When 100 jobs of 8 tasks of 2 seconds are submitted to team logistics
    And 1500 ms pass
    Then at least 95 % of the slots are in use
