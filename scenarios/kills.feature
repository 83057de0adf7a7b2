Feature: Killed, frozen and replaced VMs

  Background:
    Given the service hisskalender with 6 backend servers, 5 slots each, a floor of 3 and the preset careful
    And callers look up 60 times a second through node 1
    And 2 seconds pass

  Scenario: a VM is killed
    When VM 3 is killed
    Then backend server 3 receives no new requests after 5 seconds
    And every request is answered

  Scenario: a VM is replaced
    When VM 3 is replaced
    Then backend server 3 receives requests again within 15 seconds
    And every response is complete and belongs to its request

  Scenario: a node is frozen and resumes
    When node 3 is frozen
    And 8 seconds pass
    And node 3 resumes
    Then backend server 3 receives requests again within 20 seconds
    And every response is complete and belongs to its request
    And 98.0 percent of requests are answered within 3500 ms

  Scenario: two VMs are killed while a third server turns wrong
    When VM 3 is killed
    And VM 4 is killed
    And backend server 5 turns wrong
    And 8 seconds pass
    Then at least 3 backend servers stayed usable on every node
    And every response is complete and belongs to its request
