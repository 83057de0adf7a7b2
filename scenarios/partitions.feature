Feature: Partitions do not affect callers that are not cut off

  Background:
    Given the service hisskalender with 6 backend servers, 5 slots each, a floor of 4 and the preset careful
    And callers look up 60 times a second through node 1
    And 2 seconds pass

  Scenario: one node receives from the others but cannot send to them
    When node 3 cannot send to any node
    And 8 seconds pass
    Then at least 4 backend servers stayed usable on every node
    And 99.0 percent of requests are answered within 3500 ms
    And every response is complete and belongs to its request

  Scenario: a node whose own link is cut does not take others out of service
    When node 3 is cut off from all nodes
    And 8 seconds pass
    Then no healthy server but that of VM 3 was excluded on node 1
    And 99.0 percent of requests are answered within 3500 ms
    And every response is complete and belongs to its request

  Scenario: a cut link heals and the server behind it receives requests again
    When node 3 is cut off from all nodes
    And 8 seconds pass
    And the links heal
    Then backend server 3 receives requests again within 20 seconds
    And every response is complete and belongs to its request

  Scenario: a server drains while its node cannot send to two nodes
    When node 3 cannot send to node 1
    And node 3 cannot send to node 2
    And backend server 3 starts to drain
    Then backend server 3 runs no new request after 2 seconds
    And every response is complete and belongs to its request
