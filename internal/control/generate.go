package control

//go:generate sh generate.sh
