package org.verbenatally.config;

import org.verbenatally.core.ConfigVersion;

/** The name and version that every kind of deployment has; peers compare documents by them. */
public interface VersionedDeployment {

    /** Returns the name of the deployment; instances of deployments with different names do not communicate. */
    String name();

    /** Returns the version, which orders the documents of a deployment. */
    ConfigVersion version();
}
