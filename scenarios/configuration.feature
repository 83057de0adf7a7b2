Feature: A confirmed configuration is in force everywhere and never reverts

  Background:
    Given the service hisskalender with 6 backend servers, 5 slots each, a floor of 3 and the preset careful

  Scenario: a change is in force within seconds
    When the operator sets the floor to 2 through node 3
    Then every node has the same version within 2 seconds
    And no node went back to an older version

  Scenario: two operators race
    When two operators confirm conflicting plans at the same moment
    Then exactly one operator is asked for a new plan
    And every node has the same version within 6 seconds
    And no node went back to an older version

  Scenario: the reply to the plan and to its confirmation are lost
    When the log service loses the replies of the next 2 appends
    And the operator sets the floor to 2 through node 3
    Then every node has the same version within 6 seconds

  Scenario: a VM is replaced while the log service is down
    When the operator sets the floor to 2 through node 3
    And the log service is down
    And VM 5 is replaced
    Then every node has the same version within 6 seconds
    And no node went back to an older version

  Scenario: callers are still served while the log service is down
    When the log service is down
    And callers look up 60 times a second
    And 5 seconds pass
    Then every request is answered
    And no node went back to an older version

  Scenario: a change while a node cannot send to the others
    When node 4 cannot send to any node
    And the operator sets the floor to 2 through node 3
    Then every node has the same version within 6 seconds
