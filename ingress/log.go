package ingress

import "savorystep"

// log prefixes the lines of this package.
const log = savorystep.Logger("ingress")
