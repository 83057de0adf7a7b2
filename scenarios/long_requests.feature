Feature: A graceful stop waits for long requests

  Scenario: a node is stopped while requests of 2 s are under way
    Given the service lookup-desk with 6 backend servers, 3 slots each, a floor of 3 and the preset prompt
    And all backend servers take 2000 ms longer
    And callers look up 6 times a second through nodes 1 and 2
    And 4 seconds pass
    When node 2 is stopped gracefully
    Then the node exits cleanly
    And no response was broken and only node 2 refused requests
