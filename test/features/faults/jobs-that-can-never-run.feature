Feature: Jobs that can never run

  Background:
    Given 3 domains with 3 entry hosts and 3 workers each

  Scenario: More cores than any worker has
    When 1 second passes
    And 10 jobs of 2 tasks of 100 ms are submitted to team payments, needing 61 cores per task
    And all answers have come
    Then all jobs are refused
    And each refused job was refused as impossible-job
    And every refusal came within 20 ms of its arrival

  Scenario: Accelerators where there are none
    When 1 second passes
    And 10 jobs of 2 tasks of 100 ms are submitted to team kiosk, needing 1 accelerator per task
    And all answers have come
    Then all jobs are refused
    And each refused job was refused as impossible-job
    And every refusal came within 20 ms of its arrival

  Scenario: Impossible jobs do not hold up others
    When 1 second passes
    And 50 jobs of 20 tasks of 100 ms are submitted to team logistics, needing 61 cores per task
    And 20 jobs of 2 tasks of 100 ms are submitted to team payments
    And all answers have come
    Then the jobs of team payments are complete
    And the jobs of team logistics are refused

  Scenario: Impossible jobs while a domain is cut off
    When 1 second passes
    And domain south is cut off for 4 seconds
    And 1 second passes
    And 10 jobs of 2 tasks of 100 ms are submitted to team payments, needing 61 cores per task, without keys
    And all answers have come
    Then all jobs are refused
