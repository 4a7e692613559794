Feature: Two faults together

  Scenario: A scheduler dies during a flood
    Given 3 domains with 3 entry hosts and 4 workers each
    When team payments submits work for 20 % of the slots over 8 seconds
    And team logistics floods the fleet with 2 times its capacity over 6 seconds
    And 2 seconds pass
    And the scheduler of domain north dies
    And 5 seconds pass
    And all answers have come
    Then no task has started twice
    And every refusal that says "not run" is true

  Scenario: A worker dies while a scheduler is paused
    Given 3 domains with 3 entry hosts and 4 workers each
    When 200 jobs of 4 tasks of 300 ms are submitted to team payments, over 6 seconds
    And 1 second passes
    And the scheduler of domain south is paused for 3 seconds
    And worker 1 of domain south dies
    And 6 seconds pass
    And all answers have come
    Then no task has started twice
    And at most 8 tasks were lost with their worker

  Scenario: A domain is cut off while workers lose answers
    Given 3 domains with 3 entry hosts and 4 workers each
    When all workers lose 20 % of their answers
    And 100 jobs of 4 tasks of 200 ms are submitted to team payments, over 4 seconds
    And 1 second passes
    And domain east is cut off for 2 seconds
    And 6 seconds pass
    And all answers have come
    Then no task has started twice
    And every refusal that says "not run" is true

  Scenario: A wave of cancellations while a host drains
    Given 3 domains with 3 entry hosts and 4 workers each
    When 100 jobs of 8 tasks of 300 ms are submitted to team payments
    And 50 ms pass
    And host 1 of domain north is told to drain
    And the callers cancel every second job
    And all answers have come
    Then no call has broken off
    And every refusal that says "not run" is true

  Scenario: A worker fails every task while another falls silent
    Given 3 domains with 3 entry hosts and 5 workers each
    When 400 jobs of 1 task of 200 ms are submitted to team payments, over 6 seconds
    And 1 second passes
    And worker 1 of domain north fails every task
    And worker 2 of domain north falls silent
    And 6 seconds pass
    And all answers have come
    Then worker 1 of domain north has failed at most 20 tasks
    And at most 8 tasks were lost with their worker

  Scenario: An issuer dies while a domain is cut off, and callers come back
    Given 3 domains with 3 entry hosts and 3 workers each
    When 60 jobs of 3 tasks of 300 ms are submitted to team payments
    And 50 ms pass
    And host 1 of domain north dies
    And domain south is cut off for 2 seconds
    And all jobs are submitted again through other hosts
    And 4 seconds pass
    And all jobs are submitted again through other hosts
    And all answers have come
    Then each task has run at most once

  Scenario: Two hosts are paused one after the other
    Given 3 domains with 3 entry hosts and 3 workers each
    When 100 jobs of 4 tasks of 300 ms are submitted to team payments, over 4 seconds
    And 1 second passes
    And the scheduler of domain north is paused for 2 seconds
    And 1 second passes
    And the scheduler of domain north is paused for 3 seconds
    And 6 seconds pass
    And all answers have come
    Then no task has started twice

  Scenario: Wrong run times during a burst
    Given 3 domains with 3 entry hosts and 4 workers each
    When 100 jobs of 8 tasks of 1000 ms are submitted to team payments, declared as 100 ms, with a deadline of 4 seconds
    And 100 jobs of 1 task of 50 ms are submitted to team kiosk, declared as 500 ms, over 3 seconds
    And all answers have come
    Then every refusal that says "not run" is true
    And every refusal came within 20 ms or before half of the deadline

  Scenario: Operators race while the store loses answers
    Given 5 hosts around one store
    When host 1 publishes
    And the store loses the answer to the next write
    And hosts 2, 3 and 4 publish at once
    Then the store holds generation 2
    And all hosts have generation 2 within 7 seconds

  Scenario: The store loses its last change while a host starts anew
    Given 5 hosts around one store
    When host 1 publishes
    And host 2 publishes
    And the hosts talk for 7 seconds
    And the store loses its last 1 change
    And host 1 starts anew
    And the hosts talk for 7 seconds
    Then the store holds generation 2
    And all hosts have generation 2 within 1 seconds

  Scenario: The store is slow while operators race
    Given 5 hosts around one store
    When host 1 publishes
    And the store does not answer in time
    And hosts 2 and 3 publish at once
    And the store answers again
    Then all hosts have the same configuration within 7 seconds

  Scenario: The store is down and messages between hosts are lost
    Given 6 hosts around one store
    When host 6 publishes
    And the store is down
    And one of 3 messages between hosts is lost
    Then all hosts have generation 1 within 7 seconds
