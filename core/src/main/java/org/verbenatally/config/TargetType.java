package org.verbenatally.config;

/** The two types of target. */
public enum TargetType {
    /** A model engine. */
    ENGINE,
    /** A plain service. */
    SERVICE
}
