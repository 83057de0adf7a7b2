Feature: Faulty backend servers receive no new requests

  Background:
    Given the service hisskalender with 6 backend servers, 5 slots each, a floor of 4 and the preset careful
    And callers look up 120 times a second

  Scenario: a backend server answers with wrong statuses
    When 2 seconds pass
    And backend server 2 turns wrong
    Then backend server 2 receives no new requests after 4 seconds
    And at least 4 backend servers stayed usable on every node
    And every response is complete and belongs to its request

  # Slowness counts after the cold start, which is 20 s with the preset careful.
  Scenario: a backend server turns slow while its health endpoint says ok
    When 22 seconds pass
    And backend server 2 turns slow
    Then backend server 2 receives no new requests after 4 seconds
    And at least 4 backend servers stayed usable on every node
    And every response is complete and belongs to its request

  Scenario: a backend server cuts bodies short
    When 2 seconds pass
    And backend server 2 turns cut
    Then backend server 2 receives no new requests after 4 seconds
    And every response is complete and belongs to its request

  Scenario: a backend server is killed
    When 2 seconds pass
    And backend server 2 is killed
    Then backend server 2 receives no new requests after 6 seconds
    And every request is answered

  Scenario: all backend servers turn slow together
    When 2 seconds pass
    And all backend servers turn slow
    And 6 seconds pass
    Then at least 4 backend servers stayed usable on every node
    And every response is complete and belongs to its request
