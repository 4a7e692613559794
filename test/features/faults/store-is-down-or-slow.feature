Feature: The store is down or slow

  Background:
    Given 5 hosts around one store

  Scenario: Publishing fails with a clear outcome while the store is down
    When host 1 publishes
    And the hosts talk for 7 seconds
    And the store is down
    And host 2 publishes
    Then 1 publication is unavailable
    And all hosts have generation 1 within 7 seconds

  Scenario: The store comes back after a long time
    When host 1 publishes
    And the hosts talk for 7 seconds
    And the store is down
    And the hosts talk for 60 seconds
    And the store answers again
    And host 3 publishes
    Then 2 publications are published
    And all hosts have generation 2 within 7 seconds

  Scenario: The store is so slow that a write takes effect after its time-out
    When host 1 publishes
    And the store does not answer in time
    And host 2 publishes
    And the hosts talk for 5 seconds
    And the store answers again
    Then all hosts have the same configuration within 7 seconds

  Scenario: The store refuses calls because of too many requests
    When host 1 publishes
    And the store refuses calls
    And host 2 publishes
    Then 1 publication is unavailable
    When the store answers again
    And host 2 publishes
    Then 2 publications are published
    And all hosts have generation 2 within 7 seconds

  Scenario: Jobs run while the store is down
    Given 3 domains with 3 entry hosts and 3 workers each
    When the store is down
    And 40 jobs of 4 tasks of 100 ms are submitted to team payments, over 2 seconds
    And all answers have come
    Then all jobs are complete
