Feature: A graceful shutdown interrupts no request in progress

  Background:
    Given 3 domains with 3 entry hosts and 3 workers each

  Scenario: Jobs in progress are answered first
    When 30 jobs of 4 tasks of 500 ms are submitted to team payments
    And 100 ms pass
    And host 1 of domain north is shut down gracefully
    And all answers have come
    Then no call has broken off
    And all jobs are complete

  Scenario: The scheduler of a domain is shut down
    When 60 jobs of 4 tasks of 300 ms are submitted to team payments, over 3 seconds
    And 1 second passes
    And the scheduler of domain south is shut down gracefully
    And all answers have come
    Then no call has broken off
    And all jobs are complete

  Scenario: All hosts of a domain are replaced one after another
    When 100 jobs of 4 tasks of 200 ms are submitted to team payments, over 8 seconds
    And 1 second passes
    And host 1 of domain north is shut down gracefully
    And host 1 of domain north is started again
    And 1 second passes
    And host 2 of domain north is shut down gracefully
    And host 2 of domain north is started again
    And 1 second passes
    And host 3 of domain north is shut down gracefully
    And all answers have come
    Then no call has broken off
    And no job is failed

  Scenario: A host is shut down while a worker is slow
    When worker 1 of domain north takes 10 times as long
    And 20 jobs of 4 tasks of 300 ms are submitted to team payments
    And 100 ms pass
    And host 2 of domain south is shut down gracefully
    And all answers have come
    Then no call has broken off
    And all jobs are complete
