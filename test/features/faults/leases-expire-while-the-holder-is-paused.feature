Feature: Leases expire while their holder is paused

  Scenario: The leases of long tasks lapse while the submitter is paused
    Given 3 domains with 3 entry hosts and 4 workers each
    When 10 jobs of 4 tasks of 5000 ms are submitted to team payments
    And 500 ms pass
    And host 1 of domain north is paused for 4 seconds
    And 8 seconds pass
    And all answers have come
    Then no task has started twice
    And each job is complete or failed

  Scenario: A submitter is paused for less than a lease
    Given 3 domains with 3 entry hosts and 4 workers each
    When 10 jobs of 4 tasks of 4000 ms are submitted to team payments
    And 500 ms pass
    And host 1 of domain north is paused for 600 ms
    And all answers have come
    Then all jobs are complete

  Scenario: A worker is frozen past the leases of its tasks
    Given 3 domains with 3 entry hosts and 4 workers each
    When 10 jobs of 4 tasks of 1000 ms are submitted to team payments
    And 500 ms pass
    And worker 1 of domain north freezes for 3 seconds
    And 6 seconds pass
    And all answers have come
    Then no task has started twice
    And each job is complete or failed

  Scenario: A paused scheduler grants nothing from before its pause
    Given 3 domains with 3 entry hosts and 4 workers each
    When 200 jobs of 4 tasks of 300 ms are submitted to team payments, over 8 seconds
    And 1 second passes
    And the scheduler of domain north is paused for 3 seconds
    And 8 seconds pass
    And all answers have come
    Then no task has started twice
    And every refusal that says "not run" is true

  Scenario: The lease of a host's registration lapses while the host is paused
    Given 4 hosts registered in the store for 5 seconds
    When host 2 does not renew its registration for 6 seconds
    Then host 2 is not registered
    And host 2 finds that its lease has lapsed
    When host 2 registers again
    Then host 2 is registered
