package org.verbenatally.config;

/** Type of a target. */
public enum TargetType {
    /** A model engine. */
    ENGINE,
    /** A plain service. */
    SERVICE
}
