Feature: Workers and processes die

  Background:
    Given 3 domains with 3 entry hosts and 10 workers each

  Scenario: A worker dies
    When team payments submits work for 20 % of the slots over 8 seconds
    And team kiosk submits work for 25 % of the slots over 8 seconds
    And 4 seconds pass
    And worker 1 of domain north dies
    And 4 seconds pass
    Then goodput is back at 95 % of the best possible within 2 seconds of each loss
    And at most 8 tasks were lost with their worker

  Scenario: The machine of a worker falls silent
    When 200 jobs of 4 tasks of 300 ms are submitted to team payments, over 4 seconds
    And 2 seconds pass
    And worker 3 of domain south falls silent
    And all answers have come
    Then at most 8 tasks were lost with their worker
    And no task has started twice

  Scenario: A rack dies
    When 300 jobs of 8 tasks of 300 ms are submitted to team payments, over 6 seconds
    And 2 seconds pass
    And worker 1 of domain east dies
    And worker 2 of domain east dies
    And worker 3 of domain east dies
    And worker 4 of domain east dies
    And worker 5 of domain east dies
    And worker 6 of domain east dies
    And worker 7 of domain east dies
    And worker 8 of domain east dies
    And 4 seconds pass
    And all answers have come
    Then at most 64 tasks were lost with their worker
    And no task has started twice

  Scenario: All workers of a domain die
    When 300 jobs of 4 tasks of 300 ms are submitted to team payments, over 6 seconds
    And 2 seconds pass
    And the workers of domain north die
    And 4 seconds pass
    And all answers have come
    Then at most 80 tasks were lost with their worker
    And at least 70 % of the jobs are complete

  Scenario: A scheduler dies
    When team payments submits work for 20 % of the slots over 8 seconds
    And 4 seconds pass
    And the scheduler of domain north dies
    And 4 seconds pass
    Then goodput is back at 95 % of the best possible within 2 seconds of each loss
    And wasted messages are at most 0.05 per task start
    And no task has started twice

  Scenario: An entry host dies under high load
    When team payments submits work for 45 % of the slots over 10 seconds
    And team logistics submits work for 45 % of the slots over 10 seconds
    And 4 seconds pass
    And host 2 of domain east dies
    And 6 seconds pass
    Then goodput is back at 95 % of the best possible within 2 seconds of each loss
    And wasted messages are at most 0.05 per task start

  Scenario: The slots of an entry host that died are used again
    When 100 jobs of 8 tasks of 1 second are submitted to team logistics
    And 500 ms pass
    And host 2 of domain north dies
    And 3 seconds pass
    And 100 jobs of 8 tasks of 1 second are submitted to team logistics
    And 2 seconds pass
    Then at least 95 % of the slots are in use

  Scenario: A scheduler dies under high load
    When team payments submits work for 45 % of the slots over 10 seconds
    And team logistics submits work for 45 % of the slots over 10 seconds
    And 4 seconds pass
    And the scheduler of domain east dies
    And 6 seconds pass
    Then goodput is back at 95 % of the best possible within 2 seconds of each loss
    And wasted messages are at most 0.05 per task start

  Scenario: A worker is started again under its old name
    When 200 jobs of 4 tasks of 300 ms are submitted to team payments, over 6 seconds
    And 1 second passes
    And worker 1 of domain north dies
    And 1 second passes
    And worker 1 of domain north is started again
    And 4 seconds pass
    And all answers have come
    Then worker 1 of domain north gets tasks again
    And no task has started twice

  Scenario: Every host of a domain dies and comes back
    When 300 jobs of 4 tasks of 200 ms are submitted to team payments, over 6 seconds
    And 1 second passes
    And host 1 of domain south dies
    And host 2 of domain south dies
    And host 3 of domain south dies
    And 2 seconds pass
    And host 1 of domain south is started again
    And 3 seconds pass
    And all answers have come
    Then each task has run at most once
