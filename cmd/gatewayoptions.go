package cmd

// gatewayOptions are the flags of the gateway command.
type gatewayOptions struct {
	// CheckOnly prints the settings instead of serving.
	CheckOnly bool
	// MetricsPort is the port of the metrics on the instance's address, 0 for none.
	MetricsPort int
}
