package org.verbenatally.core;

import java.util.Locale;

/** The steps at which a request or a control exchange can fail. */
public enum Step {
    /** Reading the caller's request. */
    ACCEPT,
    /** Checking the credential and the organisation. */
    AUTHENTICATE,
    /** Deciding whether the request may run now. */
    ADMIT,
    /** Choosing a target. */
    ROUTE,
    /** Connecting to a target or a peer. */
    CONNECT,
    /** Sending the request to a target. */
    SEND,
    /** Waiting for the first token. */
    FIRST_TOKEN,
    /** Relaying tokens to the caller. */
    STREAM,
    /** Resuming a stream at a later offset. */
    RESUME,
    /** Forwarding a call to the entry that owns its idempotency key. */
    FORWARD,
    /** Reading, checking or disseminating configuration. */
    CONFIGURE,
    /** Sending an order to a target. */
    ORDER;

    /** Returns the name in the form used by problem documents, for example {@code first-token}. */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
