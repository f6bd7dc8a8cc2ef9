package savorystep

import "k8s.io/klog/v2"

// A Logger writes log lines with the fixed prefix of a part.
type Logger string

// Errorf logs a failure that needs an operator.
func (l Logger) Errorf(format string, args ...any) {
	klog.ErrorfDepth(1, string(l)+": "+format, args...)
}

// Infof logs a change of state.
func (l Logger) Infof(format string, args ...any) {
	klog.InfofDepth(1, string(l)+": "+format, args...)
}

// Debugf logs a detail at verbosity 2.
func (l Logger) Debugf(format string, args ...any) {
	if klog.V(2).Enabled() {
		klog.InfofDepth(1, string(l)+": "+format, args...)
	}
}

// Warningf logs a fault that the system handles.
func (l Logger) Warningf(format string, args ...any) {
	klog.WarningfDepth(1, string(l)+": "+format, args...)
}
