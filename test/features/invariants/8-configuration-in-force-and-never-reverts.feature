Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Background:
    Given 6 hosts around one store

  Scenario: A publication reaches all hosts
    When host 3 publishes
    Then 1 publication is published
    And all hosts have generation 1 within 7 seconds

  Scenario: A publication reaches all hosts although messages are lost
    When host 3 publishes
    And one of 4 messages between hosts is lost
    Then all hosts have generation 1 within 7 seconds

  Scenario: The store loses its last change after it was in force
    When host 1 publishes
    And host 2 publishes
    And the hosts talk for 7 seconds
    And the store loses its last 1 change
    And the hosts talk for 7 seconds
    Then all hosts have generation 2 within 1 seconds
    And the store holds generation 2
    And no host has gone back

  Scenario: A publication comes right after the store lost its last change
    When host 1 publishes
    And host 2 publishes
    And the hosts talk for 7 seconds
    And the store loses its last 1 change
    And host 3 publishes
    Then 3 publications are published
    And the store holds generation 3
    And all hosts have generation 3 within 7 seconds

  Scenario: Reads of the store lag
    When host 1 publishes
    And host 2 publishes
    And the hosts talk for 3 seconds
    And reads of the store lag by 1 change
    And the hosts talk for 5 seconds
    Then all hosts have generation 2 within 1 seconds

  Scenario: The store goes down right after a publication
    When host 5 publishes
    And the store is down
    Then all hosts have generation 1 within 7 seconds

  Scenario: A host starts anew while the store is down
    When host 1 publishes
    And the hosts talk for 7 seconds
    And the store is down
    And host 4 starts anew
    Then all hosts have generation 1 within 7 seconds
