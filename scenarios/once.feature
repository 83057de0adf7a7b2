Feature: An instruction takes effect at most once

  Background:
    Given the service bench-log with 6 backend servers, 3 slots each, a floor of 3 and the preset prompt
    And callers send 30 instructions a second with idempotency keys
    And 2 seconds pass

  Scenario: no fault
    When 4 seconds pass
    Then every request is answered
    And no instruction ran twice
    And every instruction reported as done ran

  Scenario: a backend server cuts its answers
    When backend server 2 turns cut
    And 5 seconds pass
    Then no instruction ran twice
    And every instruction reported as not run was not run
    And every instruction reported as done ran

  Scenario: a VM is killed
    When VM 3 is killed
    And 5 seconds pass
    Then no instruction ran twice
    And every instruction reported as not run was not run

  Scenario: the log loses replies
    When the log service loses the replies of the next 20 appends
    And 5 seconds pass
    Then no instruction ran twice
    And every instruction reported as not run was not run
    And every instruction reported as done ran

  Scenario: the log is down for a while
    When the log service is down
    And 5 seconds pass
    And the log service is up
    And 5 seconds pass
    Then no instruction ran twice
    And every instruction reported as not run was not run
    And some requests were refused as not run

  Scenario: a node is frozen and resumes while the log loses replies
    When node 2 is frozen
    And the log service loses the replies of the next 10 appends
    And 6 seconds pass
    And node 2 resumes
    And 4 seconds pass
    Then no instruction ran twice
    And every instruction reported as not run was not run

  Scenario: a node cannot send to the others while another is killed
    When node 2 cannot send to any node
    And VM 4 is killed
    And 6 seconds pass
    Then no instruction ran twice
    And every instruction reported as not run was not run
