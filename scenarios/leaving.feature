Feature: Draining servers and stopping nodes cut no request and receive no new ones

  Background:
    Given the service lookup-desk with 6 backend servers, 3 slots each, a floor of 3 and the preset prompt
    And callers look up 120 times a second
    And 2 seconds pass

  Scenario: a backend server drains
    When backend server 2 starts to drain
    Then backend server 2 receives no new requests after 2 seconds
    And every request is answered

  Scenario: an operator retires a backend server
    When the operator retires backend server 2
    Then backend server 2 receives no new requests after 2 seconds
    And every request is answered

  Scenario: a retirement while the log service is slow
    When the log service answers after 300 ms
    And the operator retires backend server 2
    Then backend server 2 receives no new requests after 3 seconds
    And every request is answered

  Scenario: a node is stopped gracefully
    When node 2 is stopped gracefully
    Then the node exits cleanly
    And backend server 2 receives no new requests after 2 seconds
    And no response was broken and only node 2 refused requests
