/** Failure detection and membership of the fleet, and its naive counterpart. */
package org.heatherreach.coordination.member;
