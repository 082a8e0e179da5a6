package org.verbenatally.entry.target;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.verbenatally.core.TargetId;

/** Parses the body of a 503 response, with which a target reports that it did not run a request. */
final class Refusals {
    private Refusals() {}

    /** Returns the refusal as a failure. An unknown reason does not prove that nothing ran, so it is a bad answer. */
    static TargetFailure parse(TargetId target, Buffer body) {
        String reason;
        try {
            reason = String.valueOf(new JsonObject(body).getValue("reason"));
        } catch (DecodeException e) {
            reason = "";
        }
        TargetFailure.Cause cause =
                switch (reason) {
                    case "leaving" -> TargetFailure.Cause.LEAVING;
                    case "full" -> TargetFailure.Cause.FULL;
                    case "model-not-loaded" -> TargetFailure.Cause.MODEL_NOT_LOADED;
                    default -> TargetFailure.Cause.BAD_ANSWER;
                };
        return cause == TargetFailure.Cause.BAD_ANSWER
                ? new TargetFailure(target, cause, "status 503 without a known reason")
                : new TargetFailure(target, cause, "refused: " + reason);
    }
}
