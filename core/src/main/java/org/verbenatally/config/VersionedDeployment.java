package org.verbenatally.config;

import org.verbenatally.core.ConfigVersion;

/** What every kind of deployment document has in common: peers compare documents by these two. */
public interface VersionedDeployment {

    /** Returns the name of the deployment; instances with documents of other names do not talk to each other. */
    String name();

    /** Returns the version, which orders the documents of one deployment. */
    ConfigVersion version();
}
