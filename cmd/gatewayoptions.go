package cmd

// gatewayOptions are the values of the flags of the gateway command.
type gatewayOptions struct {
	// CheckOnly checks and prints the settings instead of serving.
	CheckOnly bool
	// MetricsPort is the port of the metrics listener on the instance's IP address;
	// 0 means no listener.
	MetricsPort int
}
