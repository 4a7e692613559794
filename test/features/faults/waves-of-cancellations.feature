Feature: Cancellations in waves

  Background:
    Given 3 domains with 3 entry hosts and 4 workers each

  Scenario: All jobs of a burst are cancelled
    When 200 jobs of 8 tasks of 300 ms are submitted to team payments
    And 50 ms pass
    And the callers cancel all jobs
    And all answers have come
    Then every refusal that says "not run" is true
    And each job is cancelled or failed

  Scenario: Other work gets the slots of cancelled jobs
    When 200 jobs of 8 tasks of 2 seconds are submitted to team logistics
    And 100 ms pass
    And the callers cancel all jobs
    And 100 ms pass
    And 20 jobs of 2 tasks of 100 ms are submitted to team payments
    And all answers have come
    Then the jobs of team payments are complete

  Scenario: Tasks of cancelled jobs are stopped at once, not when their leases expire
    When 40 jobs of 2 tasks of 5 seconds are submitted to team logistics
    And 10 ms pass
    And the callers cancel all jobs
    And 1100 ms pass
    Then at most 1 % of the slots are in use
    And every refusal that says "not run" is true

  Scenario: Three waves that cancel every second job
    When 60 jobs of 4 tasks of 200 ms are submitted to team payments
    And 20 ms pass
    And the callers cancel every second job
    And 60 jobs of 4 tasks of 200 ms are submitted to team payments
    And 20 ms pass
    And the callers cancel every second job
    And 60 jobs of 4 tasks of 200 ms are submitted to team payments
    And 20 ms pass
    And the callers cancel every second job
    And all answers have come
    Then no task has started twice
    And every caller has the whole answer to its own request, once

  Scenario: Jobs are cancelled and submitted again under their keys
    When 40 jobs of 4 tasks of 200 ms are submitted to team payments
    And 30 ms pass
    And the callers cancel all jobs
    And all jobs are submitted again through other hosts
    And all answers have come
    Then each task has run at most once
