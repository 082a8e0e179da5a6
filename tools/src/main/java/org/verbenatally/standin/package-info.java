/**
 * Stand-ins for the platform, the engines, the plain services and a faulty network. Each speaks the published protocol
 * of the part it replaces, keeps a history of what it ran, and has admin routes that set faults at run time. Every
 * stand-in runs on one event loop of its own, can be embedded in a test, and can run as a process.
 */
package org.verbenatally.standin;
