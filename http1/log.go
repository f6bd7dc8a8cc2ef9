package http1

import "savorystep"

// log prefixes the lines of this package.
const log = savorystep.Logger("http1")
