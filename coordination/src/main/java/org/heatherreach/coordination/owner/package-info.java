/** Assignment of service parts and of the table reader role to daemons by rendezvous hashing. */
package org.heatherreach.coordination.owner;
