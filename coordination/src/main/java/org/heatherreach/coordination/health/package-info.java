/** Detects failing servers, ejects them as far as the floor allows and readmits them. Decision logic without I/O. */
package org.heatherreach.coordination.health;
