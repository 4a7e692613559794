Feature: Declared sizes and run times are off by a factor of ten

  Background:
    Given 3 domains with 3 entry hosts and 4 workers each

  Scenario: Tasks take ten times as long as declared
    When 100 jobs of 4 tasks of 1000 ms are submitted to team payments, declared as 100 ms, over 10 seconds
    And all answers have come
    Then all jobs are complete
    And no task has started twice

  Scenario: Tasks take a tenth of the declared time
    When 100 jobs of 4 tasks of 50 ms are submitted to team payments, declared as 500 ms, over 2 seconds
    And all answers have come
    Then all jobs are complete

  Scenario: Tasks are declared with ten times the cores they need
    When 100 jobs of 4 tasks of 100 ms are submitted to team payments, needing 10 cores per task, over 4 seconds
    And all answers have come
    Then all jobs are complete
    And wasted messages and moved requests are at most 0.05 per task start

  Scenario: A job runs past its deadline because its tasks were declared too short
    When 1 job of 20 tasks of 3 seconds is submitted to team payments, declared as 300 ms, with a deadline of 2 seconds
    And all answers have come
    Then each job is failed or refused
    And every refusal that says "not run" is true
