Feature: Look-ups are answered whole while targets and regions fail

  Background:
    Given a fleet with the sheet in force

  Scenario: Answers that are crossed never reach a caller
    Given target 1 of status-lookup crosses its answers
    And callers keep sending look-ups
    When 2 seconds pass
    Then every answer belongs to its own request
    And at least 100 look-ups were answered

  Scenario: Answers that are truncated never reach a caller
    Given target 1 of status-lookup truncates its answers
    And callers keep sending look-ups
    When 2 seconds pass
    Then every answer belongs to its own request
    And at least 100 look-ups were answered

  Scenario: Answers that come late never reach another caller
    Given target 1 of status-lookup holds its answers back for 3 seconds
    And callers keep sending look-ups
    When 4 seconds pass
    Then every answer belongs to its own request
    And at least 100 look-ups were answered

  Scenario: Open connections go silent
    Given callers keep sending look-ups
    When 1 second passes
    And the open connections to all targets go silent
    And 3 seconds pass
    Then every look-up was answered
    And every answer belongs to its own request

  Scenario: A target dies
    Given callers keep sending look-ups
    When 1 second passes
    And target 1 of status-lookup is killed
    And 2 seconds pass
    Then every look-up was answered

  Scenario: A region is cut off
    Given callers keep sending look-ups
    When 1 second passes
    And region Silesia is cut off
    And 2 seconds pass
    And look-ups are counted anew
    And 2 seconds pass
    Then every look-up from outside Silesia was answered

  Scenario: The instance list and the load reports stop
    Given callers keep sending look-ups
    When the instance list goes down
    And 2 seconds pass
    Then every look-up was answered

  Scenario: A request that kills targets is quarantined everywhere
    When a poisonous look-up is sent to each entry instance in turn
    Then at most 2 targets of status-lookup died
    And the last reply is refused as quarantined
    And an ordinary look-up is answered

  Scenario Outline: A target leaves
    Given callers keep sending look-ups
    When 1 second passes
    And target 1 of status-lookup is leaving by <word>
    And 3 seconds pass
    Then target 1 of status-lookup gets no new work
    And every look-up was answered

    Examples:
      | word         |
      | the sheet    |
      | the list     |
      | its own word |

  Scenario: An entry instance is stopped gracefully
    Given callers keep sending look-ups
    And callers keep sending reports
    When 1 second passes
    And entry instance 1 is stopped gracefully
    Then every look-up was answered
    And every report ran at most once
    And no request was cut off

  Scenario: A caller that leaves cancels its look-up at the target
    Given target 1 of status-lookup is 100 times slower
    And target 4 of status-lookup is 100 times slower
    When a caller sends look-ups to entry instance 1 and leaves after 0.2 seconds
    Then the targets of status-lookup were told of cancelled requests
