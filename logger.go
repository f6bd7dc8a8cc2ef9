package savorystep

import "k8s.io/klog/v2"

// A Logger writes log lines. Its value is the prefix of the lines and names the
// component that logs, for example "ingress".
type Logger string

// Errorf logs a failure that requires an operator to act.
func (l Logger) Errorf(format string, args ...any) {
	klog.ErrorfDepth(1, string(l)+": "+format, args...)
}

// Infof logs a state change.
func (l Logger) Infof(format string, args ...any) {
	klog.InfofDepth(1, string(l)+": "+format, args...)
}

// Debugf logs a detail if the verbosity is 2 or higher.
func (l Logger) Debugf(format string, args ...any) {
	if klog.V(2).Enabled() {
		klog.InfofDepth(1, string(l)+": "+format, args...)
	}
}

// Warningf logs a fault from which the system recovers by itself.
func (l Logger) Warningf(format string, args ...any) {
	klog.WarningfDepth(1, string(l)+": "+format, args...)
}
