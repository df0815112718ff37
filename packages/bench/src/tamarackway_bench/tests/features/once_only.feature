Feature: Once-only requests run at most once, and callers are told the truth

  Background:
    Given a fleet with the sheet in force

  Scenario: An entry instance is killed while reports arrive
    Given callers keep sending reports
    When 1 second passes
    And entry instance 1 is killed
    And 2 seconds pass
    Then every report ran at most once
    And no caller was told a lie
    And at least 20 reports ran

  Scenario: The table freezes and comes back
    Given callers keep sending reports
    And callers keep sending look-ups
    When 1 second passes
    And the table freezes
    And 3 seconds pass
    And a report is sent to entry instance 1
    Then the last reply came within 0.5 seconds
    And the last reply says not-run
    When the table works again
    And 3 seconds pass
    Then every report ran at most once
    And no caller was told a lie
    And every report was answered within 4 seconds
    And at least 20 reports ran
    And every look-up was answered

  Scenario: The table loses answers after writes took effect
    Given callers keep sending reports
    When 1 second passes
    And the table loses its answers
    And 2 seconds pass
    And the table works again
    And 3 seconds pass
    Then every report ran at most once
    And no caller was told a lie
    And at least 20 reports ran

  Scenario: The table is down for a while
    Given callers keep sending reports
    And callers keep sending look-ups
    When 1 second passes
    And the table goes down
    And 1 second passes
    And a report is sent to entry instance 1
    Then the last reply came within 0.5 seconds
    And the last reply says not-run
    When the table works again
    And 2 seconds pass
    Then every report ran at most once
    And no caller was told a lie
    And every look-up was answered

  Scenario: A claimant is frozen, and its caller sends again elsewhere
    Given callers keep sending reports
    When 1 second passes
    And entry instance 1 freezes
    And 3 seconds pass
    And entry instance 1 goes on
    And 3 seconds pass
    Then every report ran at most once
    And no caller was told a lie

  Scenario: A resend during the run gets the one answer
    Given the targets of defect-report are 40 times slower
    When a report is sent to entry instances 1, 2 and 3 at once
    Then all replies are the same
    And every report ran at most once
    And no caller was told a lie

  Scenario: The key of one report cannot carry another
    When a report is sent to entry instance 1
    And another body is sent with the same key to entry instance 2
    Then the last reply says not-run
    And the last reply is refused as key-reused

  Scenario: Open connections go silent and an entry instance is killed
    Given callers keep sending reports
    When 1 second passes
    And the open connections to all targets go silent
    And entry instance 2 is killed
    And 3 seconds pass
    Then every report ran at most once
    And no caller was told a lie

  Scenario: A region is cut off while the table is slow
    Given callers keep sending reports
    When 1 second passes
    And the table answers 300 ms late
    And region Silesia is cut off
    And 3 seconds pass
    And all links work again
    And the table works again
    And 2 seconds pass
    Then every report ran at most once
    And no caller was told a lie
