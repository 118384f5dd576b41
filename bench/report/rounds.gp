# Plots four measurements of rounds_summary.csv over the load, for runs without
# faults, one image per workload. Run in the directory that holds the file:
#   gnuplot -e "workload='trust'" .../bench/report/rounds.gp
if (!exists("workload")) workload = 'trust'
set datafile separator ','
set terminal pngcairo size 1200,900 font 'sans,10'
set output sprintf('rounds_%s.png', workload)
policies = 'chosen memory-first fifo-queue no-shedding static-limits least-loaded round-robin random'
set multiplot layout 2,2 title sprintf('%s: policies by load', workload)
set key top left font ',8'
set xlabel 'offered load (1 = fits)'
set grid
pick(p) = sprintf("< awk -F, '$1==\"%s\" && $3==\"none\" && $4==\"%s\"' rounds_summary.csv", workload, p)
column_of(name) = int(system(sprintf("head -1 rounds_summary.csv | tr , '\\n' | grep -nx %s | cut -d: -f1", name)))
goodput = column_of('goodput')
wasted = column_of('wasted_prefill')
worst = column_of('worst_customer')
refused = column_of('refused_inside')
set ylabel 'goodput, answers/s within both targets'
plot for [p in policies] pick(p) using 2:(column(goodput)) with linespoints title p
unset key
set ylabel 'wasted share of prefill tokens'
plot for [p in policies] pick(p) using 2:(column(wasted)) with linespoints title p
set ylabel 'worst customer / median customer'
plot for [p in policies] pick(p) using 2:(column(worst)) with linespoints title p
set ylabel 'refused share of requests inside the rate'
plot for [p in policies] pick(p) using 2:(column(refused)) with linespoints title p
unset multiplot
