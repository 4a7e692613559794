Feature: A refusal that says "not run" is true

  Background:
    Given 3 domains with 3 entry hosts and 2 workers each

  Scenario: Work that can not start in time
    When 60 jobs of 16 tasks of 500 ms are submitted to team payments, with a deadline of 2 seconds
    And all answers have come
    Then every refusal that says "not run" is true
    And every refusal came within 20 ms or before half of the deadline

  Scenario: Starts are refused by workers that have gone
    When worker 1 of domain north dies
    And 20 jobs of 4 tasks of 200 ms are submitted to team payments, with a deadline of 1 seconds
    And all answers have come
    Then every refusal that says "not run" is true

  Scenario: Cancellations race with starts
    When 40 jobs of 4 tasks of 200 ms are submitted to team payments
    And 2 ms pass
    And the callers cancel all jobs
    And all answers have come
    Then every refusal that says "not run" is true
    And no task has started twice

  Scenario: A paused host refuses what is overdue before it starts anything
    When 40 jobs of 8 tasks of 400 ms are submitted to team payments, with a deadline of 3 seconds
    And 10 ms pass
    And host 1 of domain north is paused for 5 seconds
    And 7 seconds pass
    And all answers have come
    Then every refusal that says "not run" is true

  Scenario: A draining host refuses new jobs
    When 4 jobs of 4 tasks of 500 ms are submitted to team payments
    And 20 ms pass
    And host 1 of domain north is told to drain
    And 4 jobs of 4 tasks of 100 ms are submitted to team payments
    And all answers have come
    Then every refusal that says "not run" is true
    And all jobs are complete

  Scenario: Jobs whose keys were issued just before the drain
    When 18 jobs of 2 tasks of 100 ms are submitted to team payments
    And host 1 of domain north is told to drain
    And all answers have come
    Then each job is complete or refused
    And each refused job was refused as draining
    And every refusal that says "not run" is true

  Scenario: Unclear starts are revoked before the job is called not run
    When all workers lose 80 % of their answers
    And 20 jobs of 2 tasks of 100 ms are submitted to team payments, with a deadline of 2 seconds
    And all answers have come
    Then every refusal that says "not run" is true
