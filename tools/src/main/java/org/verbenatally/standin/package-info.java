/**
 * Stand-ins for the platform, the engines, the plain services and a faulty network. Those for the platform, engines and
 * services implement the published protocol of the component that they replace, keep a history of their events and run
 * on their own event loop. The relay that stands for the network works on TCP connections. All have admin routes that
 * set faults at run time, can be embedded in a test and can run as processes.
 */
package org.verbenatally.standin;
