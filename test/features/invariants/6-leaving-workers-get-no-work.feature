Feature: A worker that is leaving gets no new work after a few seconds

  Background:
    Given 3 domains with 3 entry hosts and 3 workers each

  Scenario: A worker leaves under load
    When 300 jobs of 4 tasks of 200 ms are submitted to team payments, over 10 seconds
    And 2 seconds pass
    And worker 1 of domain north is leaving
    And 7 seconds pass
    Then worker 1 of domain north gets no task from 3 seconds after it is listed as leaving
    And no job is failed

  Scenario: A worker leaves while the scheduler is paused
    When 300 jobs of 4 tasks of 200 ms are submitted to team payments, over 10 seconds
    And 2 seconds pass
    And the scheduler of domain north is paused for 2 seconds
    And worker 1 of domain north is leaving
    And 7 seconds pass
    Then worker 1 of domain north gets no task from 3 seconds after it is listed as leaving

  Scenario: A worker leaves while the scheduler dies
    When 300 jobs of 4 tasks of 200 ms are submitted to team payments, over 10 seconds
    And 2 seconds pass
    And worker 2 of domain south is leaving
    And the scheduler of domain south dies
    And 7 seconds pass
    Then worker 2 of domain south gets no task from 3 seconds after it is listed as leaving

  Scenario: A worker that stays after all gets work again
    When 400 jobs of 4 tasks of 200 ms are submitted to team payments, over 12 seconds
    And worker 1 of domain north is leaving
    And 4 seconds pass
    And worker 1 of domain north stays
    And 6 seconds pass
    Then worker 1 of domain north gets tasks again
