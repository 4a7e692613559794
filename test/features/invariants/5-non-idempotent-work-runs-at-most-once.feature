Feature: A non-idempotent request runs at most once, even when resubmitted through another entry host

  Background:
    Given 3 domains with 3 entry hosts and 3 workers each

  Scenario: Every job is resubmitted while it runs and after it ended
    When 20 jobs of 3 tasks of 300 ms are submitted to team payments
    And 50 ms pass
    And all jobs are submitted again through other hosts 3 times
    And all answers have come
    And all jobs are submitted again through other hosts
    And all answers have come
    Then each task has run once
    And all jobs are complete

  Scenario: The issuer dies and its callers come back
    When 30 jobs of 3 tasks of 500 ms are submitted to team payments
    And 100 ms pass
    And host 1 of domain north dies
    And all jobs are submitted again through other hosts
    And all answers have come
    Then each task has run at most once

  Scenario: The issuer is started again with a new incarnation
    When 30 jobs of 3 tasks of 200 ms are submitted to team payments
    And 50 ms pass
    And host 2 of domain south dies
    And host 2 of domain south is started again
    And 1 second passes
    And all jobs are submitted again through other hosts 2 times
    And all answers have come
    Then each task has run at most once

  Scenario: The issuer is out of reach of the host that the caller comes back to
    When 30 jobs of 3 tasks of 200 ms are submitted to team payments
    And 20 ms pass
    And domain east is cut off
    And all jobs are submitted again through other hosts
    And 3 seconds pass
    And domain east is back
    And all jobs are submitted again through other hosts
    And all answers have come
    Then each task has run at most once

  Scenario: A cancellation overtakes the resubmission
    When 20 jobs of 3 tasks of 200 ms are submitted to team payments
    And the callers cancel all jobs
    And all jobs are submitted again through other hosts
    And all answers have come
    Then each task has run at most once
    And every refusal that says "not run" is true
