Feature: Workers that fail every task

  Background:
    Given 3 domains with 3 entry hosts and 5 workers each

  Scenario: One worker fails every task
    When 300 jobs of 1 task of 200 ms are submitted to team payments, over 5 seconds
    And 1 second passes
    And worker 1 of domain north fails every task
    And 4 seconds pass
    And all answers have come
    Then worker 1 of domain north has failed at most 20 tasks
    And at least 90 % of the jobs are complete

  Scenario: A failing worker in a fleet with little work is avoided too
    When 100 jobs of 1 task of 50 ms are submitted to team kiosk, over 10 seconds
    And worker 2 of domain south fails every task
    And 10 seconds pass
    And all answers have come
    Then worker 2 of domain south has failed at most 20 tasks

  Scenario: A failing worker attracts a burst
    When worker 1 of domain north fails every task
    And 400 jobs of 1 task of 300 ms are submitted to team payments
    And all answers have come
    Then worker 1 of domain north has failed at most 20 tasks

  Scenario: A worker that is repaired gets work again
    When 500 jobs of 4 tasks of 600 ms are submitted to team payments, over 12 seconds
    And worker 1 of domain north fails every task
    And 2 seconds pass
    And worker 1 of domain north is sound again
    And 9 seconds pass
    Then worker 1 of domain north gets tasks again
