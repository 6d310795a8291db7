/** Assignment of service parts and of the table readers to daemons by rendezvous hash. */
package org.heatherreach.coordination.owner;
