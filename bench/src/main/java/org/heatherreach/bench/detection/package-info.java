/** Measures detection of failing servers and of requests that crash them, with a virtual clock. */
package org.heatherreach.bench.detection;
