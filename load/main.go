// Command load measures a deployment. See the subcommands' help.
package main

func main() {}
