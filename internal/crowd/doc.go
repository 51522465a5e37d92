// Package crowd holds the tests of the daemon against clients that are not under our control. Each test starts a real process of
// flamingod on loopback addresses and a small crowd of clients of one kind. It checks only what does not depend on the speed of the
// machine: the process lives, its peak resident memory and its open descriptors stay under a bound, and an ordinary request is answered
// afterwards. The tests run one at a time.
package crowd
