/** Measurements of membership, of the spread of the table and of keyed requests, on a virtual clock. */
package org.heatherreach.bench.spread;
