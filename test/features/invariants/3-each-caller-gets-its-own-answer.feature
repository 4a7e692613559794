Feature: A caller gets the whole answer to its own request, even when answers arrive late or out of order

  Background:
    Given 3 domains with 3 entry hosts and 4 workers each

  Scenario: Jobs of many callers end out of order
    When worker 1 of domain north takes 10 times as long
    And 60 jobs of 5 tasks of 200 ms are submitted to team payments
    And 10 jobs of 20 tasks of 20 ms are submitted to team kiosk
    And all answers have come
    Then every caller has the whole answer to its own request, once

  Scenario: Answers arrive after a worker thaws
    When 30 jobs of 5 tasks of 200 ms are submitted to team payments
    And 100 ms pass
    And worker 1 of domain east freezes for 1 second
    And all answers have come
    Then every caller has the whole answer to its own request, once

  Scenario: Callers come back through other hosts while their job runs
    When 20 jobs of 5 tasks of 500 ms are submitted to team payments
    And 100 ms pass
    And all jobs are submitted again through other hosts
    And all answers have come
    Then every caller has the whole answer to its own request, once
    And each task has run once
    And all jobs are complete

  Scenario: An entry host is paused with answers under way
    When 30 jobs of 5 tasks of 300 ms are submitted to team payments, over 1 second
    And 500 ms pass
    And host 1 of domain south is paused for 1 second
    And 3 seconds pass
    And all answers have come
    Then every caller has the whole answer to its own request, once
