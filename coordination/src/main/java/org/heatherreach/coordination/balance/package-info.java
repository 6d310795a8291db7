/** Selects servers and orders waiting requests, based on one daemon's own observations and the reports of its peers. */
package org.heatherreach.coordination.balance;
