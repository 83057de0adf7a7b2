Feature: All guarantees under each fault

  # The examples are the columns of docs/proofs.md. The fault affects VM 3; while it lasts, a change is confirmed, backend
  # server 4 drains and node 5 is stopped, so that each guarantee is tested under each fault.
  Scenario Outline: all promises while <name>
    Given the service hisskalender with 6 backend servers, 5 slots each, a floor of 3 and the preset <preset>
    And callers look up 40 times a second through nodes 1 and 2
    And callers send 15 instructions a second with idempotency keys through nodes 1 and 2
    And 2 seconds pass
    When <fault>
    And 3 seconds pass
    And the operator tries to set the floor to 2 through node 1
    And node 5 is stopped gracefully
    And backend server 4 starts to drain
    Then backend server 4 runs no new request after 2 seconds
    When <end>
    And 3 seconds pass
    Then at least 3 backend servers stayed usable on every node
    And every response is complete and belongs to its request
    And every instruction reported as not run was not run
    And every instruction reported as done ran
    And no instruction ran twice
    And the node exits cleanly
    And every node has the same version within 6 seconds
    And no node went back to an older version

    Examples:
      | name                          | preset  | fault                                                      | end                       |
      | a backend server is slow      | prompt  | backend server 3 turns slow                                | backend server 3 recovers |
      | a backend server is wrong     | careful | backend server 3 turns wrong                               | backend server 3 recovers |
      | a backend server cuts answers | careful | backend server 3 turns cut                                 | backend server 3 recovers |
      | a backend server flaps        | prompt  | backend server 3 turns flap                                | backend server 3 recovers |
      | a node is not heard           | careful | node 3 cannot send to any node                             | the links heal            |
      | a node is cut off             | prompt  | node 3 is cut off from all nodes                           | the links heal            |
      | the log is down               | careful | the log service is down                                    | the log service is up     |
      | the log is slow               | careful | the log service answers after 400 ms                       | the log service is up     |
      | log replies are lost          | prompt  | the log service loses the replies of the next 20 appends   | nothing else happens      |
      | a node is paused              | prompt  | node 3 is frozen                                           | node 3 resumes            |
      | operators race                | careful | two operators confirm conflicting plans at the same moment | nothing else happens      |
      | a VM is killed                | prompt  | VM 3 is killed                                             | nothing else happens      |
      | a VM is replaced              | careful | VM 3 is replaced                                           | nothing else happens      |
