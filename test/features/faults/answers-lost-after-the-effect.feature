Feature: Answers are lost after the change took effect

  Scenario: A publication whose answer is lost is neither repeated nor reported wrongly
    Given 4 hosts around one store
    When the store loses the answer to the next write
    And host 1 publishes
    Then 1 publication is published
    And the store holds generation 1
    And all hosts have generation 1 within 7 seconds

  Scenario: Two operators publish at once, and an answer of the store is lost
    Given 4 hosts around one store
    When the store loses the answer to the next write
    And hosts 1 and 3 publish at once
    Then the store holds generation 1
    And 1 publication is published
    And all hosts have generation 1 within 7 seconds

  Scenario: All answers are lost for a while
    Given 4 hosts around one store
    When host 1 publishes
    And the store loses its next 20 answers
    And host 2 publishes
    And the store answers again
    Then all hosts have the same configuration within 7 seconds

  Scenario: Workers lose the answers to starts
    Given 3 domains with 3 entry hosts and 4 workers each
    When all workers lose 30 % of their answers
    And 100 jobs of 4 tasks of 100 ms are submitted to team payments, over 4 seconds
    And 5 seconds pass
    And all workers are sound again
    And all answers have come
    Then no task has started twice
    And each job is complete or failed

  Scenario: One worker loses every answer
    Given 3 domains with 3 entry hosts and 4 workers each
    When worker 1 of domain north loses 100 % of its answers
    And 100 jobs of 2 tasks of 100 ms are submitted to team payments, over 4 seconds
    And all answers have come
    Then no task has started twice
    And at least 80 % of the jobs are complete
