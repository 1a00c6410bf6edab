# Lets ccache serve clones in other folders: paths below this tree are relative to it, and the
# folder of the build does not count. Sourced by the scripts that build, in the tree's folder.
export CCACHE_BASEDIR=$PWD
export CCACHE_NOHASHDIR=1
