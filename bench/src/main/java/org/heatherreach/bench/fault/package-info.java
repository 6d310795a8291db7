/** Runs every fault at every step of the promises that the decision logic keeps, on a virtual clock. */
package org.heatherreach.bench.fault;
