package org.verbenatally.ctl;

/** Thrown for invalid command line arguments; the message states what was expected. */
final class UsageException extends Exception {
    private static final long serialVersionUID = 1;

    UsageException(String message) {
        super(message);
    }
}
