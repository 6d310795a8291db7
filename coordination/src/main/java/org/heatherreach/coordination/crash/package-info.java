/** Identifies requests that crash servers. The classes hold decision logic only and perform no I/O. */
package org.heatherreach.coordination.crash;
